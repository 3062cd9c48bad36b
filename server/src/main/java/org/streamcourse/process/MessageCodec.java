package org.streamcourse.process;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableCollectionsSerializers;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes messages and stored records with Kryo. Only registered types are accepted. A type's
 * number is determined by its index in the list of types, so new types may only be appended.
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
   * @param types message types in the order of their numbers
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
   * @param bytes result of {@link #encode}
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
        // Kryo's enum serializer encodes null differently, so it must not be wrapped.
        kryo.register(type, number);
      } else {
        kryo.register(type, new LazySerializer(type), number);
      }
      number++;
    }
    return kryo;
  }
}
