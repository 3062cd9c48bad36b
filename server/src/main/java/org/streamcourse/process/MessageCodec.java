package org.streamcourse.process;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableCollectionsSerializers;
import java.util.ArrayList;
import java.util.List;

/**
 * Turns typed messages and stored records into bytes with Kryo. Only registered types are taken;
 * their numbers are fixed by their place in the given lists, which only ever grow at the end.
 */
public final class MessageCodec {
  private static final int FIRST_TYPE_NUMBER = 100;
  private static final int INITIAL_BUFFER_BYTES = 512;

  private final List<Class<?>> types;
  private final ThreadLocal<Kryo> kryos = ThreadLocal.withInitial(this::newKryo);
  private final ThreadLocal<Output> outputs =
      ThreadLocal.withInitial(() -> new Output(INITIAL_BUFFER_BYTES, -1));

  /**
   * Creates a codec.
   *
   * @param types message types in the order that numbers them
   */
  public MessageCodec(List<Class<?>> types) {
    this.types = List.copyOf(types);
  }

  /**
   * Encodes an object.
   *
   * @param message instance of a registered type
   * @return its bytes
   */
  public byte[] encode(Object message) {
    Output output = outputs.get();
    output.reset();
    kryos.get().writeClassAndObject(output, message);
    return output.toBytes();
  }

  /**
   * Decodes an object.
   *
   * @param bytes what {@link #encode} returned
   * @return the object
   */
  public Object decode(byte[] bytes) {
    try {
      return kryos.get().readClassAndObject(new Input(bytes));
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new StreamcourseException(
          ErrorCode.PROTOCOL_VIOLATION, "decode", "", "unreadable message: " + e, 0, e);
    }
  }

  private Kryo newKryo() {
    Kryo kryo = new Kryo();
    kryo.setRegistrationRequired(true);
    kryo.setReferences(false);
    ImmutableCollectionsSerializers.registerSerializers(kryo);
    kryo.register(ArrayList.class);
    kryo.register(java.util.TreeMap.class);
    kryo.register(java.util.TreeSet.class);
    kryo.register(byte[].class);
    kryo.register(int[].class);
    int number = FIRST_TYPE_NUMBER;
    for (Class<?> type : types) {
      if (type.isEnum()) {
        // Its own serializer writes what is missing in another form than others do.
        kryo.register(type, number);
      } else {
        kryo.register(type, new LazySerializer(type), number);
      }
      number++;
    }
    return kryo;
  }
}
